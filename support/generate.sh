#!/usr/bin/env bash
# Makes generated/ anew after a change of proto/.
cd "$(dirname "$0")/.." && protoc -Iproto --cpp_out=generated proto/control.proto proto/gateway.proto
