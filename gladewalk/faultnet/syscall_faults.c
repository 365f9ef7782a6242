/* Makes system calls of one process fail by a schedule; loaded with LD_PRELOAD into a director under test.
 *
 * GLADEWALK_FAULT_SCHEDULE names a file: "epoch_ns seed", then a line for each fault:
 *     begin_ms end_ms kind number percent folder
 * Times are in ms since the epoch, which is a reading of CLOCK_MONOTONIC. `number` is an errno, or the step
 * of the wall clock in ms. Reads and writes only fail on connections that the process has opened itself: an
 * error on a client's connection would mean that the client has disconnected. `folder` is "-", or a folder:
 * only calls on files below it fail.
 * GLADEWALK_FAULT_LOG names a file to which each injected fault is written:
 *     ms kind number fd
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <limits.h>
#include <signal.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/syscall.h>
#include <sys/time.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

#define MAX_FAULTS 256
#define MAX_DESCRIPTORS 65536
#define KIND_LENGTH 24

struct fault {
    long begin_ms, end_ms;
    char kind[KIND_LENGTH];
    long number;
    int percent;
    char folder[PATH_MAX];
};

static struct fault faults[MAX_FAULTS];
static int fault_count, log_fd = -1;
static int64_t epoch_ns;
static unsigned char is_outgoing[MAX_DESCRIPTORS]; /* connections that this process has opened itself */
static uint64_t random_state = 1;

static int64_t monotonic_ns(void) {
    struct timespec now;
    syscall(SYS_clock_gettime, CLOCK_MONOTONIC, &now);
    return (int64_t)now.tv_sec * 1000000000 + now.tv_nsec;
}

static long elapsed_ms(void) { return (long)((monotonic_ns() - epoch_ns) / 1000000); }

static unsigned draw(unsigned bound) {
    random_state = random_state * 6364136223846793005ULL + 1442695040888963407ULL;
    return (unsigned)(random_state >> 33) % bound;
}

__attribute__((constructor)) static void load_schedule(void) {
    const char *path = getenv("GLADEWALK_FAULT_SCHEDULE"), *log_path = getenv("GLADEWALK_FAULT_LOG");
    FILE *file = path ? fopen(path, "r") : NULL;
    if (!file) return;
    unsigned long long epoch, seed;
    if (fscanf(file, "%llu %llu", &epoch, &seed) == 2) {
        epoch_ns = (int64_t)epoch;
        random_state = seed;
        struct fault *f = faults;
        while (fault_count < MAX_FAULTS &&
               fscanf(file, "%ld %ld %23s %ld %d %4095s", &f->begin_ms, &f->end_ms, f->kind, &f->number,
                      &f->percent, f->folder) == 6) {
            fault_count++;
            f++;
        }
    }
    fclose(file);
    if (log_path) log_fd = open(log_path, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
}

static void log_fault(const struct fault *f, int fd) {
    char line[96];
    int length = snprintf(line, sizeof line, "%ld %s %ld %d\n", elapsed_ms(), f->kind, f->number, fd);
    if (log_fd >= 0) syscall(SYS_write, log_fd, line, (size_t)length);
}

static int is_below(int fd, const char *folder) {
    char link[64], path[PATH_MAX];
    snprintf(link, sizeof link, "/proc/self/fd/%d", fd);
    ssize_t length = readlink(link, path, sizeof path - 1);
    if (length < 0) return 0;
    path[length] = 0;
    return strncmp(path, folder, strlen(folder)) == 0;
}

/* Returns the current fault of this kind that a random draw selects for a call, or NULL. A fault with a
 * folder only applies to files below that folder. */
static const struct fault *select_fault(const char *kind, int fd, const char *path) {
    long now = fault_count ? elapsed_ms() : 0;
    for (int i = 0; i < fault_count; i++) {
        const struct fault *f = &faults[i];
        if (now < f->begin_ms || now >= f->end_ms || strcmp(f->kind, kind)) continue;
        if (f->folder[0] == '/') {
            if (path ? strncmp(path, f->folder, strlen(f->folder)) : !is_below(fd, f->folder)) continue;
        }
        if ((int)draw(100) < f->percent) return f;
    }
    return NULL;
}

static int inject_error(const char *kind, int fd, const char *path) {
    const struct fault *f = select_fault(kind, fd, path);
    if (!f) return 0;
    log_fault(f, fd);
    errno = (int)f->number;
    return 1;
}

static int is_stream_socket(int fd) {
    int type = 0;
    socklen_t size = sizeof type;
    int saved = errno, found = getsockopt(fd, SOL_SOCKET, SO_TYPE, &type, &size) == 0 && type == SOCK_STREAM;
    errno = saved;
    return found;
}

static int is_outgoing_stream(int fd) {
    return fd >= 0 && fd < MAX_DESCRIPTORS && is_outgoing[fd] && is_stream_socket(fd);
}

static size_t shorten(const char *kind, int fd, size_t size) {
    const struct fault *f = size > 1 ? select_fault(kind, fd, NULL) : NULL;
    if (!f) return size;
    log_fault(f, fd);
    return 1 + draw((unsigned)(size > 1000000 ? 1000000 : size) - 1);
}

#define REAL(name) ((__typeof__(&name))real(#name))
static void *real(const char *name) {
    void *found = dlsym(RTLD_NEXT, name);
    if (!found) abort();
    return found;
}

/* The wall clock. */

static int64_t step_ns(void) {
    long now = fault_count ? elapsed_ms() : 0;
    int64_t step = 0;
    for (int i = 0; i < fault_count; i++)
        if (!strcmp(faults[i].kind, "clock_step") && now >= faults[i].begin_ms && now < faults[i].end_ms)
            step += (int64_t)faults[i].number * 1000000;
    return step;
}

int clock_gettime(clockid_t id, struct timespec *out) {
    int code = (int)syscall(SYS_clock_gettime, id, out);
    if (code == 0 && id == CLOCK_REALTIME) {
        int64_t ns = (int64_t)out->tv_sec * 1000000000 + out->tv_nsec + step_ns();
        out->tv_sec = ns / 1000000000;
        out->tv_nsec = ns % 1000000000;
    }
    return code;
}

int gettimeofday(struct timeval *restrict out, void *restrict zone) {
    struct timespec now;
    (void)zone;
    clock_gettime(CLOCK_REALTIME, &now);
    out->tv_sec = now.tv_sec;
    out->tv_usec = now.tv_nsec / 1000;
    return 0;
}

time_t time(time_t *out) {
    struct timespec now;
    clock_gettime(CLOCK_REALTIME, &now);
    if (out) *out = now.tv_sec;
    return now.tv_sec;
}

/* Sockets. */

int accept4(int fd, struct sockaddr *address, socklen_t *size, int flags) {
    if (inject_error("accept", fd, NULL)) return -1;
    int peer = REAL(accept4)(fd, address, size, flags);
    if (peer >= 0 && peer < MAX_DESCRIPTORS) is_outgoing[peer] = 0;
    return peer;
}

int accept(int fd, struct sockaddr *address, socklen_t *size) {
    return accept4(fd, address, size, 0);
}

int socket(int family, int type, int protocol) {
    if (family != AF_UNIX && (type & 0xf) == SOCK_STREAM && inject_error("socket", -1, NULL)) return -1;
    int fd = REAL(socket)(family, type, protocol);
    if (fd >= 0 && fd < MAX_DESCRIPTORS) is_outgoing[fd] = 0;
    return fd;
}

int connect(int fd, const struct sockaddr *address, socklen_t size) {
    if (address->sa_family != AF_UNIX && is_stream_socket(fd) && inject_error("connect", fd, NULL)) return -1;
    if (address->sa_family != AF_UNIX && fd >= 0 && fd < MAX_DESCRIPTORS) is_outgoing[fd] = 1;
    return REAL(connect)(fd, address, size);
}

int epoll_pwait(int fd, struct epoll_event *events, int count, int timeout, const sigset_t *mask) {
    return inject_error("wait", fd, NULL) ? -1 : REAL(epoll_pwait)(fd, events, count, timeout, mask);
}

int epoll_wait(int fd, struct epoll_event *events, int count, int timeout) {
    return inject_error("wait", fd, NULL) ? -1 : REAL(epoll_wait)(fd, events, count, timeout);
}

ssize_t read(int fd, void *data, size_t size) {
    if (fault_count && is_stream_socket(fd)) {
        if (is_outgoing_stream(fd) && inject_error("read", fd, NULL)) return -1;
        size = shorten("read_short", fd, size);
    }
    return REAL(read)(fd, data, size);
}

ssize_t recv(int fd, void *data, size_t size, int flags) {
    if (fault_count && is_stream_socket(fd)) {
        if (is_outgoing_stream(fd) && inject_error("read", fd, NULL)) return -1;
        size = shorten("read_short", fd, size);
    }
    return REAL(recv)(fd, data, size, flags);
}

static ssize_t write_file(int fd, const void *data, size_t size) {
    if (inject_error("disk_write", fd, NULL)) return -1;
    const struct fault *kill_fault = select_fault("disk_kill", fd, NULL);
    if (kill_fault) {
        log_fault(kill_fault, fd);
        REAL(write)(fd, data, size / 2);
        kill(getpid(), SIGKILL);
    }
    return REAL(write)(fd, data, shorten("disk_short", fd, size));
}

ssize_t write(int fd, const void *data, size_t size) {
    struct stat status;
    if (!fault_count || fstat(fd, &status)) return REAL(write)(fd, data, size);
    if (S_ISREG(status.st_mode)) return write_file(fd, data, size);
    if (S_ISSOCK(status.st_mode) && is_stream_socket(fd)) {
        if (is_outgoing_stream(fd) && inject_error("write", fd, NULL)) return -1;
        size = shorten("write_short", fd, size);
    }
    return REAL(write)(fd, data, size);
}

ssize_t pwrite(int fd, const void *data, size_t size, off_t offset) {
    return inject_error("disk_write", fd, NULL) ? -1 : REAL(pwrite)(fd, data, size, offset);
}

ssize_t writev(int fd, const struct iovec *parts, int count) {
    struct stat status;
    if (fault_count && fstat(fd, &status) == 0 && S_ISREG(status.st_mode) &&
        inject_error("disk_write", fd, NULL))
        return -1;
    if (fault_count && is_stream_socket(fd)) {
        if (is_outgoing_stream(fd) && inject_error("write", fd, NULL)) return -1;
        if (count > 0 && parts[0].iov_len > 1 &&
            shorten("write_short", fd, parts[0].iov_len) < parts[0].iov_len)
            return REAL(write)(fd, parts[0].iov_base, parts[0].iov_len / 2);
    }
    return REAL(writev)(fd, parts, count);
}

ssize_t send(int fd, const void *data, size_t size, int flags) {
    if (fault_count && is_stream_socket(fd)) {
        if (is_outgoing_stream(fd) && inject_error("write", fd, NULL)) return -1;
        size = shorten("write_short", fd, size);
    }
    return REAL(send)(fd, data, size, flags);
}

ssize_t sendmsg(int fd, const struct msghdr *message, int flags) {
    if (fault_count && is_outgoing_stream(fd) && inject_error("write", fd, NULL)) return -1;
    return REAL(sendmsg)(fd, message, flags);
}

/* Files. */

int fsync(int fd) { return inject_error("disk_sync", fd, NULL) ? -1 : REAL(fsync)(fd); }
int fdatasync(int fd) { return inject_error("disk_sync", fd, NULL) ? -1 : REAL(fdatasync)(fd); }
int ftruncate(int fd, off_t size) {
    return inject_error("disk_truncate", fd, NULL) ? -1 : REAL(ftruncate)(fd, size);
}

int rename(const char *from, const char *to) {
    return inject_error("disk_rename", -1, to) ? -1 : REAL(rename)(from, to);
}

int renameat(int from_folder, const char *from, int to_folder, const char *to) {
    return inject_error("disk_rename", -1, to) ? -1 : REAL(renameat)(from_folder, from, to_folder, to);
}
