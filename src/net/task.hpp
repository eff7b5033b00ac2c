// Coroutine tasks with lazy start. Awaiting a task starts it, and the end of the task resumes the awaiter.
#pragma once

#include <coroutine>
#include <exception>
#include <optional>
#include <utility>

namespace reachhoist::net {

template <class T>
class Task;

namespace detail {

// Resumes the awaiter when a task ends.
struct FinalAwaiter {
  bool await_ready() const noexcept { return false; }
  template <class Promise>
  std::coroutine_handle<> await_suspend(std::coroutine_handle<Promise> handle) const noexcept {
    const auto next = handle.promise().continuation;
    return next ? next : std::noop_coroutine();
  }
  void await_resume() const noexcept {}
};

// The common part of the promises of all tasks.
struct PromiseBase {
  std::coroutine_handle<> continuation;
  std::exception_ptr error;
  std::suspend_always initial_suspend() const noexcept { return {}; }
  FinalAwaiter final_suspend() const noexcept { return {}; }
  void unhandled_exception() { error = std::current_exception(); }
};

// The promise of a task with a result.
template <class T>
struct Promise : PromiseBase {
  std::optional<T> value;
  Task<T> get_return_object();
  void return_value(T result) { value = std::move(result); }
  T take() {
    if (error) std::rethrow_exception(error);
    return std::move(*value);
  }
};

template <>
struct Promise<void> : PromiseBase {
  Task<void> get_return_object();
  void return_void() const noexcept {}
  void take() const {
    if (error) std::rethrow_exception(error);
  }
};

}  // namespace detail

// A coroutine with a result of type T. It starts when it is awaited, and rethrows an exception to its
// awaiter. It may be awaited only once. Destroying the task destroys the coroutine.
template <class T = void>
class [[nodiscard]] Task {
 public:
  using promise_type = detail::Promise<T>;
  using Handle = std::coroutine_handle<promise_type>;

  explicit Task(Handle handle) : handle_(handle) {}
  Task(Task&& other) noexcept : handle_(std::exchange(other.handle_, {})) {}
  Task& operator=(Task&& other) noexcept {
    std::swap(handle_, other.handle_);
    return *this;
  }
  Task(const Task&) = delete;
  Task& operator=(const Task&) = delete;
  ~Task() {
    if (handle_) handle_.destroy();
  }

  bool await_ready() const noexcept { return false; }
  std::coroutine_handle<> await_suspend(std::coroutine_handle<> awaiter) noexcept {
    handle_.promise().continuation = awaiter;
    return handle_;
  }
  T await_resume() { return handle_.promise().take(); }

 private:
  Handle handle_;
};

namespace detail {
template <class T>
Task<T> Promise<T>::get_return_object() {
  return Task<T>(std::coroutine_handle<Promise<T>>::from_promise(*this));
}
inline Task<void> Promise<void>::get_return_object() {
  return Task<void>(std::coroutine_handle<Promise<void>>::from_promise(*this));
}

// A coroutine that nothing awaits. It starts immediately and frees itself when it ends. An exception in it
// terminates the program.
struct Detached {
  struct promise_type {
    Detached get_return_object() const noexcept { return {}; }
    std::suspend_never initial_suspend() const noexcept { return {}; }
    std::suspend_never final_suspend() const noexcept { return {}; }
    void return_void() const noexcept {}
    void unhandled_exception() const noexcept { std::terminate(); }
  };
};
}  // namespace detail

// Starts the task without awaiting it. An exception in the task terminates the program.
inline void spawn(Task<void> task) {
  [](Task<void> running) -> detail::Detached { co_await running; }(std::move(task));
}

}  // namespace reachhoist::net
