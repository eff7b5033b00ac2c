@0xb6f1c03ae94d2c57;
using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("reachhoist::peer::rpc");

# What controllers send each other. Nothing here carries authority: that comes from the state service alone.

struct Message {
  from @0 :Text;
  union {
    relay @1 :Relay;
    relayed @2 :Relayed;
    progress @3 :Progress;
    hello @4 :Hello;
  }
}

# A worker's report that reached a controller which does not own its machine.
struct Relay {
  number @0 :UInt64;
  report @1 :Data;
}

# The owner's answer to it.
struct Relayed {
  number @0 :UInt64;
  status @1 :UInt16;
  body @2 :Data;
}

# Sent by everyone: that the link works, who leads, and whether the state service answers the sender.
struct Hello {
  term @0 :UInt64;
  leading @1 :Bool;
  confirmed @2 :Bool;
}

# For display only: how far jobs that are not final have come.
struct Progress {
  term @0 :UInt64;
  jobs @1 :List(JobProgress);
}

struct JobProgress {
  ref @0 :Text;
  done @1 :UInt32;
  running @2 :UInt32;
}
