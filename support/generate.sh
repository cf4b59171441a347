#!/usr/bin/env bash
# Regenerates generated/ after a change in proto/.
cd "$(dirname "$0")/.." && protoc -Iproto --cpp_out=generated proto/control.proto proto/gateway.proto
