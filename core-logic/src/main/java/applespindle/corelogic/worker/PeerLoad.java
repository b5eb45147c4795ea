package applespindle.corelogic.worker;

record PeerLoad(int running, double unreadPromptTokens, long at) {}
