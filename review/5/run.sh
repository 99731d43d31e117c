#!/bin/sh
# Runs the case; TROUBLE=0 leaves the disruption out. Needs the deploy file's build and review/build.sh.
cd "$(dirname "$0")/../.." || exit 2
exec java -Xmx256m -Djdk.httpclient.allowRestrictedHeaders=host \
    -cp 'review/target/classes:platform/target/lib/*' org.masticweir.review.EndlessStream review/5
