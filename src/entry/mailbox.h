/// Mailbox: passes a session's commands from the core to its connection.
#pragma once

#include "drumlanding/entry/core.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <deque>
#include <memory>
#include <utility>
#include <vector>

namespace drumlanding::entry {

/// `post` may be called from any thread; `take` only on the connection's
/// strand.
class Mailbox : public std::enable_shared_from_this<Mailbox> {
public:
  explicit Mailbox(boost::asio::any_io_executor strand)
      : Strand(std::move(strand)), Wake(Strand) {}

  void post(Command command) {
    boost::asio::post(Strand, [self = shared_from_this(),
                               command = std::move(command)]() mutable {
      self->Items.push_back(std::move(command));
      self->Wake.cancel();
    });
  }

  /// Waits until there are commands and returns all of them.
  boost::asio::awaitable<std::vector<Command>> take() {
    while (Items.empty()) {
      Wake.expires_at(std::chrono::steady_clock::time_point::max());
      boost::system::error_code ec;
      co_await Wake.async_wait(
          boost::asio::redirect_error(boost::asio::use_awaitable, ec));
    }
    std::vector<Command> taken(std::make_move_iterator(Items.begin()),
                               std::make_move_iterator(Items.end()));
    Items.clear();
    co_return taken;
  }

private:
  boost::asio::any_io_executor Strand;
  boost::asio::steady_timer Wake;
  std::deque<Command> Items;
};

} // namespace drumlanding::entry
