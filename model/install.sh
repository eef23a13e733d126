#!/usr/bin/env bash
# Checks that spin and gcc are installed, and installs the missing ones from
# Debian packages where permissions allow it.
set -euo pipefail

for tool in spin gcc; do
	command -v "$tool" >/dev/null && continue
	if ! { apt-get update -qq && apt-get install -y -qq "$tool"; } >/dev/null 2>&1; then
		echo "$tool is not installed and could not be installed: run 'apt-get install spin gcc' as root" >&2
		exit 1
	fi
done
