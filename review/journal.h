/// Journal: writes what was sent, answered and run to the record of a case.
///
///   Journal journal("record.txt");
///   journal.write("worker W1 runs request a7 (/sheets/1)");
#pragma once

#include <chrono>
#include <cstdio>
#include <mutex>
#include <string>
#include <string_view>

namespace drumlanding::review {

class Journal {
public:
  explicit Journal(const std::string &path)
      : File(std::fopen(path.c_str(), "w")) {}
  ~Journal() {
    if (File)
      std::fclose(File);
  }
  Journal(const Journal &) = delete;
  Journal &operator=(const Journal &) = delete;

  /// Writes a line with the time in seconds since the start.
  void write(std::string_view text) {
    const std::lock_guard guard(Lock);
    if (!File)
      return;
    std::fprintf(File, "%8.3f %.*s\n", seconds(), static_cast<int>(text.size()),
                 text.data());
    std::fflush(File);
  }

  /// Returns the time since the start.
  double seconds() const {
    return std::chrono::duration<double>(std::chrono::steady_clock::now() -
                                         Start)
        .count();
  }

private:
  std::FILE *File;
  std::mutex Lock;
  std::chrono::steady_clock::time_point Start =
      std::chrono::steady_clock::now();
};

} // namespace drumlanding::review
