// Standard output of a test while the log is written to it.
#ifndef SKY_TESTS_CAPTURED_LOG_H
#define SKY_TESTS_CAPTURED_LOG_H

#include <gtest/gtest.h>

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <string>
#include <vector>

#include "core/clock.h"
#include "core/logging.h"

// Replaces standard output by a pipe. Its reader is this process, so that a
// pipe that is not read shows what happens while standard output blocks.
class CapturedLog {
  public:
    explicit CapturedLog(const sky_log_options_t &options)
    {
        fflush(stdout);
        saved_fd = dup(STDOUT_FILENO);
        int fds[2];
        EXPECT_EQ(0, pipe(fds));
        fcntl(fds[0], F_SETFL, O_NONBLOCK);
        fcntl(fds[1], F_SETPIPE_SZ, 1 << 20);
        read_fd = fds[0];
        dup2(fds[1], STDOUT_FILENO);
        close(fds[1]);
        SkyLog_UseStandardOutput(&options);
    }

    ~CapturedLog()
    {
        ReadAll(); // leaves nothing in the buffer for the next test
        fflush(stdout);
        dup2(saved_fd, STDOUT_FILENO);
        close(saved_fd);
        for (const std::string &line : Find("")) {
            if (line[0] != '<') { // a failure that the test program reports
                fprintf(stderr, "%s\n", line.c_str());
            }
        }
        close(read_fd);
    }

    // Reads what was written out so far.
    std::string
    Read()
    {
        char bytes[65536];
        ssize_t size;
        while ((size = read(read_fd, bytes, sizeof bytes)) > 0) {
            text.append(bytes, (size_t)size);
        }
        return text;
    }

    // Writes the whole buffer out, also if it is larger than the pipe.
    void
    ReadAll()
    {
        size_t size;
        do {
            size = text.size();
            SkyLog_Flush();
            Read();
        } while (text.size() > size);
    }

    // Forgets what was written out so far.
    void
    Clear()
    {
        Read();
        text.clear();
    }

    // Lines with a text in them.
    std::vector<std::string>
    Find(const std::string &part)
    {
        std::vector<std::string> found;
        std::string all = Read();
        for (size_t begin = 0, end; begin < all.size(); begin = end + 1) {
            end = std::min(all.find('\n', begin), all.size());
            std::string line = all.substr(begin, end - begin);
            if (line.find(part) != std::string::npos) {
                found.push_back(line);
            }
        }
        return found;
    }

    size_t
    Count(const std::string &part)
    {
        return Find(part).size();
    }

    // Waits for the first tenth of the next second, as budgets are by the
    // second.
    static void
    AwaitNextSecond()
    {
        uint64_t second = SkyClock_WallMs() / 1000;
        while (SkyClock_WallMs() / 1000 == second) {
            usleep(1000);
        }
    }

  private:
    int saved_fd;
    int read_fd;
    std::string text;
};

#endif
