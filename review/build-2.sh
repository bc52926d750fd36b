#!/bin/sh
# Builds the stand-ins of the second review's scripts.
set -e
cd "$(dirname "$0")/.."
go build -o target/rig2 ./review/rig2
