#!/usr/bin/env bash
# Plays the case; see claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
[ -d review/standin-2/target ] && [ -d platform/target/lib ] || exit 2
exec java -Xmx128m -cp review/standin-2/target RestartInPlace review/10
