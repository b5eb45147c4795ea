package applespindle.corelogic.worker;

record PeerLoad(int running, double unread, long at) {}
