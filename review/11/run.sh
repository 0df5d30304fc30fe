#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
set -uo pipefail
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.."
[ -x target/review-3/stand-in ] && [ -x target/release/laurelstile-node ] || exit 2
folder="$(mktemp -d)" || exit 2
trap 'rm -rf "$folder"' EXIT
timeout -k 5 100 target/review-3/stand-in unnoticed-crash "$folder" "$here/record.txt"
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
