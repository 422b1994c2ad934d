#!/bin/sh
# Plays this case; see claim.txt and ../case.sh.
exec sh "$(dirname "$0")/../case.sh" 2 spoilt-status
