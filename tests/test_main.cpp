// Entry point of every test program. The seeds of property tests are fixed, so that every run gives
// the same result; RC_PARAMS in the environment overrides them, for example for longer runs.
#define DOCTEST_CONFIG_IMPLEMENT
#include <cstdlib>

#include <doctest/doctest.h>
#include <glog/logging.h>
#include <sodium.h>

int main(int argc, char** argv) {
    constexpr int keep_existing = 0;
    ::setenv("RC_PARAMS", "seed=20261204 noshrink=0 max_success=60", keep_existing);
    FLAGS_logtostderr = true;
    FLAGS_minloglevel = google::GLOG_FATAL;
    google::InitGoogleLogging(argv[0]);
    if (sodium_init() < 0)
        return EXIT_FAILURE;
    doctest::Context context(argc, argv);
    return context.run();
}
