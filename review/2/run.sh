#!/usr/bin/env bash
# Plays the case and writes record.txt beside this file. Exit: 0 the rule held,
# 1 it was broken, 2 the case couldn't run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/daemon/scaleshedd ] && [ -x target/review/review_case ] || exit 2
exec timeout -k 2 118 target/review/review_case long-prompts "review/2"
