// Named thread that runs one job. The destructor joins the thread, so the owner must first close
// the ring or poller on which the job blocks.
#pragma once

#include <functional>
#include <string>
#include <thread>

namespace toucanusher {

class duty {
  public:
    // `name` is shown by debuggers; only its first 15 characters are kept.
    duty(std::string name, std::function<void()> job);
    ~duty();
    duty(duty const&) = delete;
    duty& operator=(duty const&) = delete;

    void join();

  private:
    std::thread thread_;
};

} // namespace toucanusher
