#!/usr/bin/env bash
# Servers lose power while they send large answers. Needs the build of the deploy file and
# review/build.sh. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# With TROUBLE=0 it does the same without the disruption.
trouble=${TROUBLE:-1}
cd "$(dirname "$0")" || exit 2
entry=../../target/release/lh-entry
standins=../standins/target/release/review-standins
[ -x "$entry" ] && [ -x "$standins" ] || { echo "not built" >&2; exit 2; }
TROUBLE=$trouble exec "$standins" silent . "$(realpath "$entry")"
