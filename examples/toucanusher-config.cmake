# find_package(toucanusher): the target toucanusher::toucanusher with the decisions.
include(CMakeFindDependencyMacro)
find_dependency(absl)
find_dependency(Threads)
include("${CMAKE_CURRENT_LIST_DIR}/toucanusher_targets.cmake")
