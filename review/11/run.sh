#!/bin/sh
# Plays the case; TROUBLE=0 leaves the disruption out. Exit 1: rule broken, 0: held, 2: couldn't run.
cd "$(dirname "$0")" && exec python3 case.py
