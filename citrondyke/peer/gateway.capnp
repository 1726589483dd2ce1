@0xb7d2a94c1e5f3086;

# What gateway instances say to each other. Only add fields, never renumber: instances of two
# versions talk to each other during an upgrade.

struct GatewayMessage {
  sender @0 :Text;
  # Newest configuration that the sender has; a receiver that has less asks for it.
  configVersion @1 :UInt64;
  union {
    # Requests that the sender has on servers.
    load @2 :List(ServerLoad);
    # A job's head changed; its owner looks at it.
    jobChanged @3 :Text;
    # Asks for all that the receiver knows; over a stream.
    knowledgeWanted @4 :Void;
    # MessagePack, as it is large and passes between equal types.
    knowledge @5 :Data;
    # A call of the store that the sender cannot make itself; MessagePack, over a stream.
    storeCall @6 :Data;
    storeAnswer @7 :Data;
    # What all instances have on the servers of the sender's availability zone.
    loadTotals @8 :List(ServerLoad);
    # The same two as 8 bytes each: server, online, batch, little-endian. They come hundreds of
    # times a second, and a list's elements are read one field at a time.
    loadBytes @9 :Data;
    loadTotalsBytes @10 :Data;
    # Asks for what the receiver knows beyond this and beyond the sender's configuration.
    knowledgeAsked @11 :KnowledgeAsked;
    # Requests that were under way at a server that ended, or were answered well.
    suspects @12 :SuspectNews;
    # One request of an account: may it be sent to a server?
    useAsked @13 :UseAsked;
    useAnswered @14 :UseAnswered;
    # The lease by which one instance counts the accounts of a slot.
    leaseAsked @15 :LeaseAsked;
    leaseAnswered @16 :LeaseAnswered;
    # How far the steward of a slot may let accounts fall, for its keepers, and their answer.
    useCounts @17 :Data;
    # Not sent. The number is not given to anything else.
    usePlaces @18 :Data;
    # Failures and successes that the sender has seen at servers.
    serverEvidence @19 :Data;
    # Batch items that wait at the sender.
    batchNeed @20 :Data;
    # Knowledge that the sender hands on without being asked; over a stream.
    knowledgeOffered @21 :Data;
    # How far the sender has read the list of servers.
    listPosition @22 :Data;
  }
}

struct UseAsked {
  number @0 :UInt32;
  account @1 :Text;
  # Names the work asked for; the same when the caller comes back.
  work @2 :UInt32;
  # Time until the caller's deadline, and how long the request may wait.
  leftMs @3 :Float32;
  mayWaitMs @4 :Float32;
  # Work of the account, 4 bytes each, that the sender has refused without asking.
  refused @5 :Data;
}

struct UseAnswered {
  number @0 :UInt32;
  outcome @1 :Outcome;
  # When the caller may come back, and for how long the sender need not ask again.
  retryInMs @2 :Float32;
  pauseMs @3 :Float32;
  isSteward @4 :Bool;
  # When a granted use may begin.
  startInMs @5 :Float32;
  # Whether a place is kept at the time to come back.
  isKept @6 :Bool;
  # Work, 4 bytes each, for which places are kept that fall due while the sender need not ask.
  expected @7 :Data;

  enum Outcome {
    granted @0;
    refused @1;
    notSteward @2;
  }
}

struct LeaseAsked {
  slot @0 :UInt16;
  number @1 :UInt32;
  isRenewal @2 :Bool;
  # Whether the sender only tells that it will ask.
  isEarly @3 :Bool;
}

struct LeaseAnswered {
  slot @0 :UInt16;
  number @1 :UInt32;
  isGranted @2 :Bool;
  # For how long nobody else has had the sender's word.
  freeMs @3 :Float64;
  # What the sender knows of the last lease; empty where it may not be the last.
  copy @4 :Data;
}

struct SuspectNews {
  # Digest of the server's life; 0 where none has ended.
  server @0 :UInt32;
  # 15 bytes each: the digest of what is asked for, its target's bucket, what is told (0: its
  # answer had begun, 1: it had not, 2: it was answered well).
  requests @1 :Data;
}

struct KnowledgeAsked {
  # Instances of which the sender has the address, itself included.
  instancesCount @0 :UInt32;
  # Of the list of servers that the sender has; the same list is left out of the answer.
  listDigest @1 :UInt64;
  # The answer may be compressed.
  takesCompressed @2 :Bool;
}

struct ServerLoad {
  # First 32 bits of a digest of the server's id.
  server @0 :UInt32;
  online @1 :UInt16;
  batch @2 :UInt16;
}
