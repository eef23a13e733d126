#!/usr/bin/env bash
# Makes sure that spin and gcc are there; installs them from Debian's packages
# where they are missing and this may be done.
set -euo pipefail

for tool in spin gcc; do
	command -v "$tool" >/dev/null && continue
	if ! { apt-get update -qq && apt-get install -y -qq "$tool"; } >/dev/null 2>&1; then
		echo "$tool is missing and cannot be installed here: run 'apt-get install spin gcc' as root" >&2
		exit 1
	fi
done
