#include "src/process/io/http_server.h"

#include <algorithm>
#include <utility>

#include <absl/strings/ascii.h>
#include <absl/strings/str_cat.h>
#include <restinio/all.hpp>

#include "toucanusher/process/duty.h"

namespace toucanusher {

namespace {

struct server_traits : restinio::default_traits_t {
    using request_handler_t =
        std::function<restinio::request_handling_status_t(restinio::request_handle_t const&)>;
};

constexpr std::size_t max_body_bytes = 16U << 20U;
constexpr auto request_timeout = std::chrono::seconds{120};

http_request to_http_request(restinio::request_t const& from) {
    http_request request;
    auto const& header = from.header();
    request.method = header.method().c_str();
    request.path = std::string(header.path());
    request.query = std::string(header.query());
    header.for_each_field([&](auto const& field) {
        request.headers[absl::AsciiStrToLower(field.name())] = field.value();
    });
    request.body = from.body();
    return request;
}

http_responder make_responder(restinio::request_handle_t request) {
    return [request = std::move(request)](http_response response) {
        auto reply = request->create_response(restinio::http_status_line_t{
            restinio::http_status_code_t(static_cast<std::uint16_t>(response.status)), ""});
        reply.append_header(restinio::http_field::content_type, response.content_type);
        for (auto const& [name, value] : response.headers)
            reply.append_header(name, value);
        reply.set_body(std::move(response.body));
        reply.done();
    };
}

class restinio_server final : public http_server {
  public:
    restinio_server(endpoint listen, http_handler handler)
        : server_(restinio::own_io_context(), [&](auto& settings) {
              settings.address(asio::ip::address_v4(listen.address).to_string())
                  .port(listen.port)
                  .handle_request_timeout(request_timeout)
                  .incoming_http_msg_limits(
                      restinio::incoming_http_msg_limits_t{}.max_body_size(max_body_bytes))
                  .request_handler([handler = std::move(handler)](auto const& request) {
                      handler(to_http_request(*request), make_responder(request));
                      return restinio::request_accepted();
                  });
          }) {
        server_.open_sync();
        io_duty_ = std::make_unique<duty>("http", [this] { server_.io_context().run(); });
    }
    ~restinio_server() override { restinio_server::close(); }
    restinio_server(restinio_server const&) = delete;
    restinio_server& operator=(restinio_server const&) = delete;

    void close() override {
        if (!io_duty_)
            return;
        asio::post(server_.io_context(), [this] {
            server_.close_sync();
            server_.io_context().stop();
        });
        io_duty_.reset();
    }

  private:
    restinio::http_server_t<server_traits> server_;
    std::unique_ptr<duty> io_duty_;
};

} // namespace

absl::StatusOr<std::unique_ptr<http_server>> http_server::open(endpoint listen,
                                                               http_handler handler) {
    try {
        return std::make_unique<restinio_server>(listen, std::move(handler));
    } catch (std::exception const& error) {
        return absl::UnavailableError(
            absl::StrCat("cannot serve HTTP on ", to_string(listen), ": ", error.what()));
    }
}

} // namespace toucanusher
