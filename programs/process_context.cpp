#include "programs/process_context.h"

#include <utility>

namespace toucanusher {

absl::StatusOr<std::unique_ptr<http_server>> open_admin(process_context& context,
                                                        std::function<bool()> healthy,
                                                        std::function<std::string()> status) {
    auto const handler = [&context, healthy = std::move(healthy), status = std::move(status)](
                             http_request request, http_responder const& respond) {
        http_response response;
        if (request.path == "/metrics") {
            response.body = context.counters.text();
        } else if (request.path == "/health") {
            bool const good = healthy();
            response.status = good ? 200 : 503;
            response.body = good ? "ok\n" : "not ready\n";
        } else if (request.path == "/status") {
            response.content_type = "application/json";
            response.body = status();
        } else {
            response.status = 404;
            response.body = "no such page\n";
        }
        respond(std::move(response));
    };
    return http_server::open(context.config.admin, handler);
}

} // namespace toucanusher
