#!/usr/bin/env bash
# Builds the stand-ins of the cases. The programs of the project come from the build of the
# deploy file.
set -euo pipefail
cd "$(dirname "$0")/standin"
go test -c -o ../../target/review-standin .
