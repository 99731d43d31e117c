#!/bin/sh
# Compiles the stand-ins of the cases 6 and later, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
classes=review/standins-2/target
rm -rf "$classes"
mkdir -p "$classes"
javac --release 17 -Xlint:all -Werror -cp 'platform/target/lib/*' -d "$classes" \
    review/standins-2/org/masticweir/review/*.java
