#!/usr/bin/env bash
# A team becomes isolated; see claim.txt. TROUBLE=0 leaves the change out.
cd "$(dirname "$0")/../.." || exit 2
exec timeout --kill-after=5 115 target/review/lab isolation review/1
