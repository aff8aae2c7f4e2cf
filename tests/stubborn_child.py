"""Child process of fleet.feature that ignores SIGTERM."""

import signal
import sys
import time

LONGEST_LIFE_S = 60

if __name__ == '__main__':
    signal.signal(signal.SIGTERM, signal.SIG_IGN)
    sys.stdout.write('ready\n')
    sys.stdout.flush()
    time.sleep(LONGEST_LIFE_S)
