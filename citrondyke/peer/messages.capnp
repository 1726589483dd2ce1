@0xc3a1d0f2b7e94586;

# Messages between instances. Only add fields, never renumber them: during an upgrade instances of
# two versions exchange messages.

struct Envelope {
  sender @0 :Text;
  # Identifies one incarnation of the sender; together with the number it reveals a replay.
  epoch @1 :UInt64;
  number @2 :UInt64;
  configVersion @3 :UInt64;
  union {
    ping @4 :Probe;
    ack @5 :Probe;
    onlineNotice @6 :OnlineNotice;
    serverState @7 :ServerState;
    configPush @8 :Data;
    jobStopped @9 :Text;
    configPull @10 :UInt64;
    configChanges @11 :List(Data);
    # Evidence that a request or a prompt part crashes engines.
    suspectNotice @12 :Data;
  }
}

struct Probe {
  number @0 :UInt64;
  facts @1 :List(Fact);
}

struct Fact {
  instanceId @0 :Text;
  state @1 :State;
  incarnation @2 :UInt64;

  enum State {
    alive @0;
    suspect @1;
    leaving @2;
  }
}

struct OnlineNotice {
  serverId @0 :Text;
  onlineCount @1 :UInt32;
  stepUs @2 :UInt32;
}

struct ServerState {
  serverId @0 :Text;
  onlineCount @1 :UInt32;
  onlineLimit @2 :UInt32;
  isLeaving @3 :Bool;
  comfortLimit @4 :UInt32;
}
