// HTTP client that runs concurrent calls on one duty, using libcurl's multi interface.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <curl/curl.h>

#include "toucanusher/process/clock.h"
#include "toucanusher/process/duty.h"
#include "toucanusher/process/ring.h"

namespace toucanusher {

struct http_call {
    std::string method = "GET";
    std::string url;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    std::chrono::milliseconds timeout{1000};
    bool idempotent = true; // false: never resent, not even after a lost connection
};

struct http_result {
    int status = 0;         // 0: no answer
    bool connected = false; // the request may have reached the server
    std::string body;
    std::map<std::string, std::string> headers; // names in lower case
    std::string error;                          // set if status is 0
};

class http_client {
  public:
    // Called on the client's duty.
    using done_hook = std::function<void(http_result)>;

    explicit http_client(std::string name, std::size_t ring_capacity = 4096);
    ~http_client();
    http_client(http_client const&) = delete;
    http_client& operator=(http_client const&) = delete;

    // Returns false if the queue is full; the hook is then not called.
    [[nodiscard]] bool start(http_call call, done_hook on_done);
    // Aborts open calls, whose hooks get a result with status 0, and ends the duty.
    void close();

  private:
    struct transfer;
    struct queued_call {
        http_call call;
        done_hook on_done;
    };

    void run();
    void begin_transfer(queued_call queued);
    void complete_transfers();

    ring<queued_call> queue_;
    CURLM* multi_;
    std::map<CURL*, std::unique_ptr<transfer>> transfers_; // used on the duty only
    std::unique_ptr<duty> duty_;
};

} // namespace toucanusher
