#ifndef SCALESHED_TESTING_FREE_ADDRESS_H_
#define SCALESHED_TESTING_FREE_ADDRESS_H_

#include <string>

namespace scaleshed::testing {

// An address to listen on a little later, free by how it is chosen: each
// process has a loopback address of its own, no two calls get the same port,
// and ports lie below those that the system gives to connections.
std::string FreeAddress();

}  // namespace scaleshed::testing

#endif  // SCALESHED_TESTING_FREE_ADDRESS_H_
