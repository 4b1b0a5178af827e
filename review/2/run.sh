#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption
# out. The build of deploy/balancer.toml and review/build.sh come first.
cd "$(dirname "$0")/../.." || exit 2
test -x bin/ringtrack && test -x bin/ringtrack-configstore && test -x bin/review-case || exit 2
exec bin/review-case oneway review/2
