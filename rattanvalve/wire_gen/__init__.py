"""Generated thrift code; see rattanvalve.thrift."""
