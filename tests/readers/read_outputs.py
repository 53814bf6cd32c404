"""Reads what the daemons and the command line write with readers that are not the project's own."""

import json
import pathlib
import subprocess
import sys
import tempfile

from prometheus_client.parser import text_string_to_metric_families

writer, program, source = sys.argv[1:4]


def check(holds, what):
    if not holds:
        sys.exit("failed: " + what)


with tempfile.TemporaryDirectory() as folder:
    done = subprocess.run([writer, folder], check=True, capture_output=True)
    path = pathlib.Path(folder)
    trace = json.loads((path / "trace.json").read_text(encoding="utf-8"))
    lines = [json.loads(line) for line in (path / "events.jsonl").read_text(encoding="utf-8").splitlines()]
    metrics = (path / "metrics.txt").read_bytes().decode("utf-8", "replace")

entries = trace["traceEvents"]
for entry in entries:
    check(entry["ph"] in "MiX" and isinstance(entry["pid"], int) and isinstance(entry["tid"], int), f"trace entry {entry}")
    check(entry["ph"] == "M" or isinstance(entry["ts"], int), f"time of {entry}")
spans = {(e["pid"], e["dur"]) for e in entries if e["ph"] == "X"}
check(len(spans) == 2 and {d for _, d in spans} == {30000, 50000}, f"spans {spans}")
check({e["args"]["name"] for e in entries if e["ph"] == "M"} == {"entry-1", "upstream-1"}, "processes of the trace")
check([line["kind"] for line in lines] == ["request.admitted", "run.started", "attempt.ended", "request.ended"], "order")

families = {family.name: family for family in text_string_to_metric_families(metrics)}
check(families["clementinegap_queued"].samples[0].value == 3, "gauge")
check(families["clementinegap_refusals"].samples[0].labels["code"] == "overloaded", "counter with labels")
buckets = [s for s in families["clementinegap_request_seconds"].samples if s.name.endswith("_bucket")]
check(buckets[-1].labels["le"] == "+Inf" and buckets[-1].value == 1, "histogram")

logs = [json.loads(line) for line in done.stderr.decode("utf-8", "replace").splitlines()]
check(len(logs) == 2, "two log lines, whatever the texts hold")
for line in logs:
    check(set(line) == {"time", "level", "vm", "event", "detail"}, f"fields of {line}")
    check(f'`{line["event"]}`' in pathlib.Path(source, "docs/logs.md").read_text(encoding="utf-8"), f"documented: {line}")
check(logs[1]["detail"] == "{} %v %s", "format characters are text")

codes = json.loads(subprocess.run([program, "codes", "--json"], check=True, capture_output=True).stdout)
check(codes[0] == {"code": 0, "http_status": 200, "name": "ok", "text": "The request was served."}, "codes --json")
completion = subprocess.run([program, "completion", "bash"], check=True, capture_output=True).stdout
probe = b'\nCOMP_WORDS=(clementinegap timeline --exp); COMP_CWORD=2; _clementinegap; echo "${COMPREPLY[0]}"\n'
answer = subprocess.run(["bash", "-eu"], input=completion + probe, check=True, capture_output=True).stdout
check(answer == b"--explain\n", f"completion {answer}")
