#include "src/process/io/http_client.h"

#include <absl/strings/ascii.h>
#include <absl/strings/str_cat.h>

namespace toucanusher {

namespace {

constexpr long max_idle_connections = 64;
constexpr std::chrono::milliseconds poll_timeout{1000};

std::size_t append_body(char* data, std::size_t size, std::size_t count, void* target) {
    static_cast<http_result*>(target)->body.append(data, size * count);
    return size * count;
}

std::size_t append_header(char* data, std::size_t size, std::size_t count, void* target) {
    std::string const line(data, size * count);
    auto const colon = line.find(':');
    if (colon != std::string::npos)
        static_cast<http_result*>(target)->headers[absl::AsciiStrToLower(line.substr(0, colon))] =
            std::string(absl::StripAsciiWhitespace(line.substr(colon + 1)));
    return size * count;
}

} // namespace

struct http_client::transfer {
    http_call call;
    done_hook on_done;
    http_result result;
    curl_slist* headers = nullptr;

    transfer(http_call call, done_hook on_done)
        : call(std::move(call)), on_done(std::move(on_done)) {}
    ~transfer() { curl_slist_free_all(headers); }
    transfer(transfer const&) = delete;
    transfer& operator=(transfer const&) = delete;
};

http_client::http_client(std::string name, std::size_t ring_capacity)
    : queue_(ring_capacity), multi_(curl_multi_init()) {
    curl_multi_setopt(multi_, CURLMOPT_MAXCONNECTS, max_idle_connections);
    duty_ = std::make_unique<duty>(std::move(name), [this] { run(); });
}

http_client::~http_client() {
    close();
    curl_multi_cleanup(multi_);
}

bool http_client::start(http_call call, done_hook on_done) {
    if (!queue_.try_push({std::move(call), std::move(on_done)}))
        return false;
    curl_multi_wakeup(multi_);
    return true;
}

void http_client::close() {
    queue_.close();
    curl_multi_wakeup(multi_);
    if (duty_)
        duty_->join();
}

void http_client::run() {
    while (!queue_.finished()) {
        while (queue_.size() > 0)
            if (auto queued = queue_.pop())
                begin_transfer(std::move(*queued));
        int running = 0;
        curl_multi_perform(multi_, &running);
        complete_transfers();
        if (queue_.size() == 0)
            curl_multi_poll(multi_, nullptr, 0, static_cast<int>(poll_timeout.count()), nullptr);
    }
    for (auto& [handle, transfer] : transfers_) {
        curl_multi_remove_handle(multi_, handle);
        curl_easy_cleanup(handle);
        transfer->result.error = "the HTTP client was closed";
        transfer->result.connected = true;
        transfer->on_done(std::move(transfer->result));
    }
    transfers_.clear();
}

void http_client::begin_transfer(queued_call queued) {
    CURL* const handle = curl_easy_init();
    auto made = std::make_unique<transfer>(std::move(queued.call), std::move(queued.on_done));
    http_call const& call = made->call;
    for (auto const& [name, value] : call.headers)
        made->headers = curl_slist_append(made->headers, absl::StrCat(name, ": ", value).c_str());
    made->headers = curl_slist_append(made->headers, "Expect:");
    curl_easy_setopt(handle, CURLOPT_URL, call.url.c_str());
    curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, call.method.c_str());
    curl_easy_setopt(handle, CURLOPT_HTTPHEADER, made->headers);
    curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS, static_cast<long>(call.timeout.count()));
    curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(handle, CURLOPT_PROXY, "");
    // libcurl silently resends a request if a reused connection was closed by the server.
    if (!call.idempotent)
        curl_easy_setopt(handle, CURLOPT_FRESH_CONNECT, 1L);
    if (!call.body.empty()) {
        curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE, static_cast<long>(call.body.size()));
        curl_easy_setopt(handle, CURLOPT_POSTFIELDS, call.body.data());
    }
    curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, &append_body);
    curl_easy_setopt(handle, CURLOPT_WRITEDATA, &made->result);
    curl_easy_setopt(handle, CURLOPT_HEADERFUNCTION, &append_header);
    curl_easy_setopt(handle, CURLOPT_HEADERDATA, &made->result);
    curl_multi_add_handle(multi_, handle);
    transfers_.emplace(handle, std::move(made));
}

void http_client::complete_transfers() {
    int left = 0;
    while (CURLMsg* const message = curl_multi_info_read(multi_, &left)) {
        if (message->msg != CURLMSG_DONE)
            continue;
        CURL* const handle = message->easy_handle;
        CURLcode const code = message->data.result;
        auto node = transfers_.extract(handle);
        transfer& done = *node.mapped();
        long status = 0;
        curl_easy_getinfo(handle, CURLINFO_RESPONSE_CODE, &status);
        done.result.status = code == CURLE_OK ? static_cast<int>(status) : 0;
        done.result.connected = code != CURLE_COULDNT_CONNECT && code != CURLE_COULDNT_RESOLVE_HOST;
        if (code != CURLE_OK)
            done.result.error = curl_easy_strerror(code);
        curl_multi_remove_handle(multi_, handle);
        curl_easy_cleanup(handle);
        done.on_done(std::move(done.result));
    }
}

} // namespace toucanusher
