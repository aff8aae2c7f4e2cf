"""Child process that ignores SIGTERM; run by fleet.feature."""

import signal
import sys
import time

MAX_LIFETIME_S = 60

if __name__ == '__main__':
    signal.signal(signal.SIGTERM, signal.SIG_IGN)
    sys.stdout.write('ready\n')
    sys.stdout.flush()
    time.sleep(MAX_LIFETIME_S)
