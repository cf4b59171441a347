#include "store.h"

#include <boost/beast/core/detail/base64.hpp>
#include <chrono>

namespace drumlanding::review {
namespace {

using Json = nlohmann::json;

/// Twenty seconds of history at some twenty writes a second.
constexpr std::size_t MaxHistory = 2'000;
constexpr std::uint64_t LeaseMs = 600'000;

std::string encode(const std::string &bytes) {
  namespace base64 = boost::beast::detail::base64;
  std::string text(base64::encoded_size(bytes.size()), '\0');
  text.resize(base64::encode(text.data(), bytes.data(), bytes.size()));
  return text;
}

std::string decode(const std::string &text) {
  namespace base64 = boost::beast::detail::base64;
  std::string bytes(base64::decoded_size(text.size()), '\0');
  bytes.resize(base64::decode(bytes.data(), text.data(), text.size()).first);
  return bytes;
}

std::string unescape(const std::string &text) {
  std::string out;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] != '%' || i + 2 >= text.size()) {
      out += text[i];
      continue;
    }
    out += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
    i += 2;
  }
  return out;
}

Response jsonResponse(const Json &body, http::status status) {
  Response response = makeResponse(status, body.dump());
  response.set(http::field::content_type, "application/json");
  return response;
}

std::uint64_t number(const std::string &text) {
  return text.empty() ? 0 : std::stoull(text);
}

} // namespace

Store::Store(const Address &address)
    : Server(address, [this](const Request &request, tcp::socket &socket) {
        return serve(request, socket);
      }) {}

Store::~Store() {
  {
    const std::lock_guard guard(Lock);
    IsStopping = true;
  }
  Changed.notify_all();
}

void Store::write(const std::string &key, const std::string &value,
                  std::uint64_t lease) {
  Entry &entry = Entries[key];
  entry.Value = value;
  entry.Revision = Revision;
  entry.MadeAt = entry.MadeAt == 0 ? Revision : entry.MadeAt;
  entry.Lease = lease;
  History.push_back({key, false, entry});
}

void Store::erase(const std::string &key) {
  if (Entries.erase(key) == 0)
    return;
  Entry gone;
  gone.Revision = Revision;
  History.push_back({key, true, gone});
}

void Store::put(const std::string &key, const std::string &value) {
  {
    const std::lock_guard guard(Lock);
    ++Revision;
    write(key, value, 0);
    while (History.size() > MaxHistory)
      History.pop_front();
  }
  Changed.notify_all();
}

void Store::remove(const std::string &key) {
  {
    const std::lock_guard guard(Lock);
    ++Revision;
    erase(key);
  }
  Changed.notify_all();
}

bool Store::serve(const Request &request, tcp::socket &socket) {
  return respond(socket, answer(request)) && request.keep_alive();
}

Response Store::answer(const Request &request) {
  const std::string target(request.target());
  const std::string_view path = pathOf(target);
  if (path == "/drumlanding/kv-key")
    return readKey(request);
  if (path == "/drumlanding/kv-range")
    return readRange(request);
  if (path == "/drumlanding/kv-watch")
    return watch(request);
  if (path == "/drumlanding/kv-txn")
    return transact(request);
  const std::lock_guard guard(Lock);
  if (path == "/drumlanding/kv-lease")
    return jsonResponse({{"lease", NextLease++}, {"ttl_ms", LeaseMs}},
                        http::status::ok);
  if (path.starts_with("/drumlanding/kv-keep/"))
    return jsonResponse({{"ttl_ms", LeaseMs}}, http::status::ok);
  return makeResponse(http::status::not_found, "");
}

Json Store::toJson(const std::string &key, const Entry &entry) const {
  return {{"tlsKey", key},
          {"value", encode(entry.Value)},
          {"rev", entry.Revision},
          {"made", entry.MadeAt},
          {"lease", entry.Lease}};
}

Response Store::readKey(const Request &request) {
  const std::string key =
      unescape(queryValue(std::string(request.target()), "tlsKey"));
  const std::lock_guard guard(Lock);
  const auto it = Entries.find(key);
  if (it == Entries.end())
    return jsonResponse({{"at", Revision}}, http::status::not_found);
  Json item = toJson(key, it->second);
  item["at"] = Revision;
  return jsonResponse(item, http::status::ok);
}

Response Store::readRange(const Request &request) {
  const std::string prefix =
      unescape(queryValue(std::string(request.target()), "pathPrefix"));
  const std::lock_guard guard(Lock);
  Json items = Json::array();
  for (const auto &[key, entry] : Entries)
    if (key.starts_with(prefix))
      items.push_back(toJson(key, entry));
  return jsonResponse(
      {{"items", std::move(items)}, {"more", false}, {"at", Revision}},
      http::status::ok);
}

Response Store::watch(const Request &request) {
  const std::string target(request.target());
  const std::string prefix = unescape(queryValue(target, "pathPrefix"));
  const std::uint64_t since = number(queryValue(target, "sinceRev"));
  const auto until =
      std::chrono::steady_clock::now() +
      std::chrono::milliseconds(number(queryValue(target, "waitMs")));
  std::unique_lock guard(Lock);
  for (;;) {
    if (!History.empty() && History.size() >= MaxHistory &&
        since < History.front().Written.Revision)
      return jsonResponse(Json::object(), http::status::gone);
    Json events = Json::array();
    for (const Change &change : History) {
      if (change.Written.Revision <= since || !change.Key.starts_with(prefix))
        continue;
      if (change.IsRemoved)
        events.push_back({{"tlsKey", change.Key},
                          {"rev", change.Written.Revision},
                          {"gone", true}});
      else
        events.push_back(toJson(change.Key, change.Written));
    }
    const bool isOver = IsStopping || std::chrono::steady_clock::now() >= until;
    if (!events.empty() || isOver)
      return jsonResponse({{"events", std::move(events)}, {"at", Revision}},
                          http::status::ok);
    Changed.wait_until(guard, until);
  }
}

Response Store::transact(const Request &request) {
  const Json body = Json::parse(request.body());
  {
    const std::lock_guard guard(Lock);
    Json current = Json::array();
    bool isMet = true;
    for (const Json &row : body.value("expectRev", Json::array())) {
      const std::string key = row.at("tlsKey").get<std::string>();
      const auto it = Entries.find(key);
      const std::uint64_t revision =
          it == Entries.end() ? 0 : it->second.Revision;
      isMet = isMet && revision == row.at("rev").get<std::uint64_t>();
      if (it != Entries.end())
        current.push_back(toJson(key, it->second));
    }
    if (!isMet)
      return jsonResponse({{"items", std::move(current)}},
                          http::status::precondition_failed);
    ++Revision;
    for (const Json &row : body.value("put", Json::array()))
      write(row.at("tlsKey").get<std::string>(),
            decode(row.at("value").get<std::string>()),
            row.value("lease", std::uint64_t{0}));
    for (const Json &key : body.value("remove", Json::array()))
      erase(key.get<std::string>());
  }
  Changed.notify_all();
  const std::lock_guard guard(Lock);
  return jsonResponse({{"rev", Revision}}, http::status::ok);
}

} // namespace drumlanding::review
