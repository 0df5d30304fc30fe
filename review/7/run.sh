#!/usr/bin/env bash
CASE=priority
source "$(dirname "$0")/../stand-in-2/run.sh"
