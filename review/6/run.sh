#!/usr/bin/env bash
CASE=other-kind
source "$(dirname "$0")/../stand-in-2/run.sh"
