#!/bin/sh
# Builds the stand-ins that the scripts of the cases start. The programs of the project are
# built by the build line of deploy/system.toml.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -o target/review/rig ./review/testdata/rig
