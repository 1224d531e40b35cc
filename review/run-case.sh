#!/bin/sh
# Runs the case of class $2, whose folder is $1. Exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
root=$(cd "$(dirname "$0")/.." && pwd)
folder=$(cd "$1" && pwd)
[ -f "$root/review/target/$2.class" ] || { echo "run review/build.sh first" >&2; exit 2; }
exec java -Xmx512m -Droot="$root" -Drecord="$folder/record.txt" -cp "$root/review/target" "$2"
