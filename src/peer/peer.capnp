@0xb6f1c03ae94d2c57;
using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("reachhoist::peer::rpc");

# The messages between controllers. They carry no authority, since only the key-value store grants leadership.

struct Message {
  from @0 :Text;
  union {
    relay @1 :Relay;
    relayed @2 :Relayed;
    progress @3 :Progress;
    hello @4 :Hello;
  }
}

# A worker's heartbeat that a controller other than the leader received and forwards to the leader.
struct Relay {
  number @0 :UInt64;
  report @1 :Data;
}

# The leader's answer to a relayed heartbeat.
struct Relayed {
  number @0 :UInt64;
  status @1 :UInt16;
  body @2 :Data;
}

# The heartbeat that each controller sends to each sibling. It shows that the link works, whether the sender is
# the leader, and whether the key-value store has answered the sender recently.
struct Hello {
  term @0 :UInt64;
  leading @1 :Bool;
  confirmed @2 :Bool;
}

# The progress of the jobs that are not final. It is only displayed, and no decision depends on it.
struct Progress {
  term @0 :UInt64;
  jobs @1 :List(JobProgress);
}

struct JobProgress {
  ref @0 :Text;
  done @1 :UInt32;
  running @2 :UInt32;
}
