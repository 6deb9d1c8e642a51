// The stand-ins and the cases of the review's scripts, one program:
//   review_case worker ...          a worker process (started by the cases)
//   review_case NAME FOLDER         a case; TROUBLE=0 leaves the disruption out
// Exit: 0 the rule held, 1 it was broken, 2 the case couldn't run.
#include "cases.hpp"

int main(int argc, char** argv) {
  using namespace review;
  signal(SIGPIPE, SIG_IGN);
  std::vector<std::string> words(argv, argv + argc);
  if (argc == 15 && words[1] == "worker") {
    WorkerOptions it{.address = words[2],
                     .store = words[3],
                     .id = words[4],
                     .service = words[5],
                     .zone = words[6],
                     .record = words[7]};
    it.engine = words[8] == "engine";
    it.slots = std::stoi(words[9]);
    it.plain_ms = std::stod(words[10]);
    it.memory = std::stod(words[11]);
    it.read_per_ms = std::stod(words[12]);
    it.pairs_per_m = std::stod(words[13]);
    it.event_ms = std::stod(words[14]);
    Worker worker(it);
    if (!worker.ok()) return 2;
    worker.Run();
    return 0;
  }
  if (argc != 3) return 2;
  const char* trouble = getenv("TROUBLE");
  const bool disturbed = trouble == nullptr || std::string(trouble) != "0";
  int code = 2;
  if (words[1] == "long-prompts")
    code = LongPrompts(words[0], words[2], disturbed);
  if (words[1] == "rack-crash") code = RackCrash(words[0], words[2], disturbed);
  // Threads of connections may still run.
  std::cout << std::flush;
  _exit(code);
}
