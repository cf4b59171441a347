/// Store: a stand-in of the platform's store with the calls that gateways use:
/// reads of a key and of a range, watches, conditional writes and leases.
#pragma once

#include "web.h"

#include <condition_variable>
#include <deque>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>

namespace drumlanding::review {

class Store {
public:
  explicit Store(const Address &address);
  ~Store();

  /// Writes an entry. When it returns, the store has acknowledged it.
  void put(const std::string &key, const std::string &value);
  void remove(const std::string &key);

private:
  struct Entry {
    std::string Value;
    std::uint64_t Revision = 0;
    std::uint64_t MadeAt = 0;
    std::uint64_t Lease = 0;
  };
  struct Change {
    std::string Key;
    bool IsRemoved = false;
    Entry Written;
  };

  bool serve(const Request &request, tcp::socket &socket);
  Response answer(const Request &request);
  Response readKey(const Request &request);
  Response readRange(const Request &request);
  Response watch(const Request &request);
  Response transact(const Request &request);
  nlohmann::json toJson(const std::string &key, const Entry &entry) const;
  void write(const std::string &key, const std::string &value,
             std::uint64_t lease);
  void erase(const std::string &key);

  std::mutex Lock;
  std::condition_variable Changed;
  bool IsStopping = false;
  std::uint64_t Revision = 1;
  std::uint64_t NextLease = 1;
  std::map<std::string, Entry> Entries;
  std::deque<Change> History;
  WebServer Server;
};

} // namespace drumlanding::review
