@0xb7d2a94c1e5f3086;

# Messages between gateway instances. Only add fields, never renumber them: during an upgrade
# instances of two versions exchange messages.

struct GatewayMessage {
  sender @0 :Text;
  # Newest version of the configuration that the sender has; a receiver with an older one
  # requests it.
  configVersion @1 :UInt64;
  union {
    # Numbers of the sender's requests on servers.
    load @2 :List(ServerLoad);
    # Notifies a job's owner that the job's head has changed.
    jobChanged @3 :Text;
    # Requests the complete store state of the receiver; over a stream.
    knowledgeWanted @4 :Void;
    # Store state. MessagePack, since it is large and both ends use the same types.
    knowledge @5 :Data;
    # A call of the store that the receiver makes for the sender; MessagePack, over a stream.
    storeCall @6 :Data;
    storeAnswer @7 :Data;
    # Numbers of all instances' requests on the servers of the sender's availability zone.
    loadTotals @8 :List(ServerLoad);
    # Replace load and loadTotals with 8 bytes per server: server, online, batch, little-endian.
    # They arrive hundreds of times a second, and the elements of a list are decoded field by field.
    loadBytes @9 :Data;
    loadTotalsBytes @10 :Data;
    # Requests the store state that the sender lacks, according to this and to its configVersion.
    knowledgeAsked @11 :KnowledgeAsked;
    # Requests that were running on a server when it exited, or that ran to their end.
    suspects @12 :SuspectNews;
    # Asks whether one request of an account may be sent to a server.
    useAsked @13 :UseAsked;
    useAnswered @14 :UseAnswered;
    # Request for the lease under which one instance counts the accounts of a slot.
    leaseAsked @15 :LeaseAsked;
    leaseAnswered @16 :LeaseAnswered;
    # Floors of accounts, from the steward of a slot to its keepers, and their acknowledgements.
    useCounts @17 :Data;
    # No longer sent. The number must not be reused.
    usePlaces @18 :Data;
    # Outcomes of the sender's requests on servers.
    serverEvidence @19 :Data;
    # Batch items that wait for capacity at the sender.
    batchNeed @20 :Data;
    # Update of the server list: published by a reader, or its answer to a listPosition over a
    # stream.
    knowledgeOffered @21 :Data;
    # Cursor of the sender in the server list; over a stream, a request for the changes after it.
    listPosition @22 :Data;
    # Origins of streams that callers may resume at the receiver; MessagePack, as the next two.
    streamOrigins @23 :Data;
    # Asks for the origin of a stream, and the answer; over a stream.
    originAsked @24 :Data;
    originTold @25 :Data;
  }
}

struct UseAsked {
  number @0 :UInt32;
  account @1 :Text;
  # Identifies the requested work; the same when the caller retries.
  work @2 :UInt32;
  # Time until the caller's deadline, and time for which the request may wait.
  leftMs @3 :Float32;
  mayWaitMs @4 :Float32;
  # Work of the account, 4 bytes each, that the sender rejected without a query.
  refused @5 :Data;
}

struct UseAnswered {
  number @0 :UInt32;
  outcome @1 :Outcome;
  # Time after which the caller may retry, and time for which the receiver need not ask again.
  retryInMs @2 :Float32;
  pauseMs @3 :Float32;
  isSteward @4 :Bool;
  # Time after which a granted use may start.
  startInMs @5 :Float32;
  # Whether capacity is reserved at the retry time.
  isKept @6 :Bool;
  # Work, 4 bytes each, whose reservations fall due while the receiver need not ask.
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
  # Whether the sender only announces a later request.
  isEarly @3 :Bool;
}

struct LeaseAnswered {
  slot @0 :UInt16;
  number @1 :UInt32;
  isGranted @2 :Bool;
  # Time for which no other instance has had the sender's vote.
  freeMs @3 :Float64;
  # The sender's copy of the state of the last lease; empty if it may not be the last one.
  copy @4 :Data;
}

struct SuspectNews {
  # Digest of the server's incarnation; 0 if none has exited.
  server @0 :UInt32;
  # 15 bytes each: the digest of the request's content or of a part of its prompt, the bucket of its
  # target (0 for a part), and the kind of the update (0: its answer had begun, 1: it had not, 2: the
  # request ran to its end, 3: the part was answered lately).
  requests @1 :Data;
}

struct KnowledgeAsked {
  # Number of instances whose address the sender has, including itself.
  instancesCount @0 :UInt32;
  # Digest of the sender's server list; an equal list is left out of the answer.
  listDigest @1 :UInt64;
  # Whether the answer may be compressed.
  takesCompressed @2 :Bool;
}

struct ServerLoad {
  # First 32 bits of the digest of the server's id.
  server @0 :UInt32;
  online @1 :UInt16;
  batch @2 :UInt16;
}
