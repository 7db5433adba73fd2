#include "toucanusher/process/duty.h"

#include <pthread.h>

#include <utility>

namespace toucanusher {

namespace {
constexpr std::size_t max_thread_name = 15;
}

duty::duty(std::string name, std::function<void()> job)
    : thread_([name = name.substr(0, max_thread_name), job = std::move(job)] {
          pthread_setname_np(pthread_self(), name.c_str());
          job();
      }) {}

duty::~duty() {
    join();
}

void duty::join() {
    if (thread_.joinable())
        thread_.join();
}

} // namespace toucanusher
