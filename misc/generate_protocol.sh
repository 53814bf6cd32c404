#!/usr/bin/env bash
# Regenerates the committed protobuf and gRPC code; needs protobuf-compiler and protobuf-compiler-grpc.
set -eu
cd "$(dirname "$0")/../adapters/proto"
protoc --cpp_out=. --grpc_out=. --plugin=protoc-gen-grpc="$(command -v grpc_cpp_plugin)" peer.proto overlay.proto
