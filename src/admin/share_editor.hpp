// Changes of the table of shares on behalf of operators: read, change, write if nobody else has written
// since. Runs on a client of the state service; no sockets here.
#pragma once

#include <functional>
#include <memory>

#include "shares/table.hpp"
#include "state/client.hpp"

namespace reachhoist::admin {

using wire::Time;

// changed: written. repeated: the request had been carried out before. stale: the table's generation is not
// the expected one. invalid: the change or its result breaks the table's rules. absent: nothing is stored,
// shares are off. damaged: what is stored can't be read. unavailable: no definite answer in time.
enum class EditVerdict { changed, repeated, stale, invalid, absent, damaged, unavailable };

struct EditResult {
  EditVerdict verdict = EditVerdict::unavailable;
  std::uint64_t generation = 0;
  config::FieldError problem;
};

// One change under way. Keeps itself alive until it is told what came of it.
class ShareEdit : public std::enable_shared_from_this<ShareEdit> {
 public:
  // reading: the stored table is asked for. writing: the changed table is being written. waiting: before the
  // next try. finished: told.
  enum class State { reading, writing, waiting, finished };
  using Done = std::function<void(const EditResult&)>;

  ShareEdit(state::Client& client, const config::Settings& settings, shares::Change change, Time deadline,
            Done done);
  void start(Time now);
  // To be called now and then until it is finished.
  void tick(Time now);
  bool finished() const { return state_ == State::finished; }

 private:
  void to(State next) { state_ = next; }
  void read();
  void onRead(const wire::CallResult& result);
  void write(const shares::Table& table, std::uint64_t revision);
  void onWritten(const wire::CallResult& result, std::uint64_t generation);
  void retry();
  void finish(const EditResult& result);

  state::Client& client_;
  const config::Settings& settings_;
  shares::Change change_;
  Time deadline_;
  Done done_;
  State state_ = State::reading;
  Time now_{};
  Time retryAt_{};
};

}  // namespace reachhoist::admin
