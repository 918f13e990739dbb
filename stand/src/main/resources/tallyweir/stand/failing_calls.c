/*
 * Makes system calls of one process fail in the ways that Linux documents. The rules are read from a file that both this
 * library and the test map into memory. Loaded with LD_PRELOAD; the environment variable FAILING_CALLS names the file.
 * Calls on descriptors that are not stream sockets are not affected, except for writes and syncs of files if a rule for
 * files is set.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <stdint.h>
#include <stdlib.h>
#include <sys/epoll.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/types.h>
#include <time.h>
#include <unistd.h>

#define MAX_ERRNOS 8
#define MS_PER_SECOND 1000
#define NANOS_PER_MS 1000000L
#define NANOS_PER_SECOND 1000000000L

/* In the order of FailingCalls.Call; CALLS is their number. */
enum call { ACCEPT, SOCKET, CONNECT, READ, WRITE, EPOLL_WAIT, EPOLL_CTL, CLOSE, FILE_WRITE, FILE_SYNC, CALLS };

struct rule {
    int32_t one_in; /* one call in this many fails, 0: none */
    int32_t errno_count;
    int32_t errnos[MAX_ERRNOS];
    int32_t seed;
    int32_t call_count;
    int32_t failure_count;
    int32_t max_failures; /* 0: no bound */
};

/* The layout of the mapped file, which FailingCalls writes. */
struct control {
    int64_t wall_step_ms;
    struct rule rules[CALLS];
};

static struct control *control;

static int (*real_accept)(int, struct sockaddr *, socklen_t *);
static int (*real_accept4)(int, struct sockaddr *, socklen_t *, int);
static int (*real_socket)(int, int, int);
static int (*real_connect)(int, const struct sockaddr *, socklen_t);
static ssize_t (*real_read)(int, void *, size_t);
static ssize_t (*real_write)(int, const void *, size_t);
static ssize_t (*real_pwrite64)(int, const void *, size_t, off64_t);
static int (*real_epoll_wait)(int, struct epoll_event *, int, int);
static int (*real_epoll_ctl)(int, int, int, struct epoll_event *);
static int (*real_close)(int);
static int (*real_fsync)(int);
static int (*real_fdatasync)(int);
static int (*real_clock_gettime)(clockid_t, struct timespec *);

static void *next(const char *name) {
    return dlsym(RTLD_NEXT, name);
}

__attribute__((constructor)) static void initialize(void) {
    real_accept = next("accept");
    real_accept4 = next("accept4");
    real_socket = next("socket");
    real_connect = next("connect");
    real_read = next("read");
    real_write = next("write");
    real_pwrite64 = next("pwrite64");
    real_epoll_wait = next("epoll_wait");
    real_epoll_ctl = next("epoll_ctl");
    real_close = next("close");
    real_fsync = next("fsync");
    real_fdatasync = next("fdatasync");
    real_clock_gettime = next("clock_gettime");
    const char *path = getenv("FAILING_CALLS");
    int file = path == NULL ? -1 : open(path, O_RDWR);
    if (file >= 0) {
        void *at = mmap(NULL, sizeof(struct control), PROT_READ | PROT_WRITE, MAP_SHARED, file, 0);
        control = at == MAP_FAILED ? NULL : at;
        real_close(file);
    }
}

static uint32_t hash(uint64_t value) {
    value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9ULL;
    value = (value ^ (value >> 27)) * 0x94d049bb133111ebULL;
    return (uint32_t)(value >> 32);
}

/* The errno with which this call must fail, 0 for none. */
static int failure(enum call call) {
    if (control == NULL) {
        return 0;
    }
    struct rule *rule = &control->rules[call];
    int32_t one_in = __atomic_load_n(&rule->one_in, __ATOMIC_ACQUIRE);
    int32_t errno_count = rule->errno_count;
    if (one_in <= 0 || errno_count <= 0) {
        return 0;
    }
    uint32_t number = (uint32_t)__atomic_add_fetch(&rule->call_count, 1, __ATOMIC_RELAXED);
    uint32_t drawn = hash(((uint64_t)(uint32_t)rule->seed << 32) + number * 0x9e3779b9ULL);
    if (drawn % (uint32_t)one_in != 0) {
        return 0;
    }
    int32_t failure_count = __atomic_add_fetch(&rule->failure_count, 1, __ATOMIC_RELAXED);
    if (rule->max_failures > 0 && failure_count > rule->max_failures) {
        __atomic_sub_fetch(&rule->failure_count, 1, __ATOMIC_RELAXED);
        return 0;
    }
    return rule->errnos[(uint32_t)failure_count % (uint32_t)errno_count];
}

static int is_socket(int fd) {
    int type = 0;
    socklen_t length = sizeof type;
    int saved_errno = errno;
    int is = getsockopt(fd, SOL_SOCKET, SO_TYPE, &type, &length) == 0 && type == SOCK_STREAM;
    errno = saved_errno;
    return is;
}

static int is_file(int fd) {
    struct stat status;
    int saved_errno = errno;
    int is = fstat(fd, &status) == 0 && S_ISREG(status.st_mode);
    errno = saved_errno;
    return is;
}

static int fail_with(int error) {
    errno = error;
    return -1;
}

int accept(int fd, struct sockaddr *address, socklen_t *length) {
    int error = failure(ACCEPT);
    return error != 0 ? fail_with(error) : real_accept(fd, address, length);
}

int accept4(int fd, struct sockaddr *address, socklen_t *length, int flags) {
    int error = failure(ACCEPT);
    return error != 0 ? fail_with(error) : real_accept4(fd, address, length, flags);
}

int socket(int domain, int type, int protocol) {
    int error = failure(SOCKET);
    return error != 0 ? fail_with(error) : real_socket(domain, type, protocol);
}

int connect(int fd, const struct sockaddr *address, socklen_t length) {
    int error = failure(CONNECT);
    return error != 0 ? fail_with(error) : real_connect(fd, address, length);
}

ssize_t read(int fd, void *into, size_t length) {
    int error = is_socket(fd) ? failure(READ) : 0;
    return error != 0 ? fail_with(error) : real_read(fd, into, length);
}

ssize_t write(int fd, const void *from, size_t length) {
    int error = is_socket(fd) ? failure(WRITE) : is_file(fd) ? failure(FILE_WRITE) : 0;
    return error != 0 ? fail_with(error) : real_write(fd, from, length);
}

ssize_t pwrite64(int fd, const void *from, size_t length, off64_t at) {
    int error = is_file(fd) ? failure(FILE_WRITE) : 0;
    return error != 0 ? fail_with(error) : real_pwrite64(fd, from, length, at);
}

int epoll_wait(int fd, struct epoll_event *events, int max_events, int timeout) {
    int error = failure(EPOLL_WAIT);
    return error != 0 ? fail_with(error) : real_epoll_wait(fd, events, max_events, timeout);
}

int epoll_ctl(int epoll, int operation, int fd, struct epoll_event *event) {
    int error = operation != EPOLL_CTL_DEL && is_socket(fd) ? failure(EPOLL_CTL) : 0;
    return error != 0 ? fail_with(error) : real_epoll_ctl(epoll, operation, fd, event);
}

/* Closes the descriptor first, because Linux closes it even if close returns an error. */
int close(int fd) {
    int error = is_socket(fd) ? failure(CLOSE) : 0;
    int closed = real_close(fd);
    return error != 0 && closed == 0 ? fail_with(error) : closed;
}

int fsync(int fd) {
    int error = failure(FILE_SYNC);
    return error != 0 ? fail_with(error) : real_fsync(fd);
}

int fdatasync(int fd) {
    int error = failure(FILE_SYNC);
    return error != 0 ? fail_with(error) : real_fdatasync(fd);
}

int clock_gettime(clockid_t clock, struct timespec *time) {
    int result = real_clock_gettime(clock, time);
    if (result == 0 && clock == CLOCK_REALTIME && control != NULL) {
        int64_t step = __atomic_load_n(&control->wall_step_ms, __ATOMIC_ACQUIRE);
        long nanoseconds = time->tv_nsec + (long)(step % MS_PER_SECOND) * NANOS_PER_MS;
        time->tv_sec += step / MS_PER_SECOND;
        if (nanoseconds < 0) {
            nanoseconds += NANOS_PER_SECOND;
            time->tv_sec -= 1;
        } else if (nanoseconds >= NANOS_PER_SECOND) {
            nanoseconds -= NANOS_PER_SECOND;
            time->tv_sec += 1;
        }
        time->tv_nsec = nanoseconds;
    }
    return result;
}
