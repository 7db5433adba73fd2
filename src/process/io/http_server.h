// HTTP server on top of RESTinio. Responses may be sent later and from any thread.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include <absl/status/statusor.h>

#include "toucanusher/process/endpoint.h"

namespace toucanusher {

struct http_request {
    std::string method;
    std::string path;                           // without the query
    std::string query;                          // raw
    std::map<std::string, std::string> headers; // names in lower case
    std::string body;
};

struct http_response {
    int status = 200;
    std::string content_type = "text/plain";
    std::map<std::string, std::string> headers;
    std::string body;
};

// Sends the response. Must be called once; safe to call from any thread.
using http_responder = std::function<void(http_response)>;
// Called on the server's duty; must not block.
using http_handler = std::function<void(http_request, http_responder)>;

class http_server {
  public:
    static absl::StatusOr<std::unique_ptr<http_server>> open(endpoint listen, http_handler handler);
    virtual ~http_server() = default;
    virtual void close() = 0;
};

} // namespace toucanusher
