#!/usr/bin/env bash
# Plays the case of claim.txt. TROUBLE=0 leaves the disruption out.
exec python3 "$(dirname "$0")/case.py"
