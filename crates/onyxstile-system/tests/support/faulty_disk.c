/*
 * A disk that stalls, is slow or refuses: replaces the calls that write and sync regular files in a process that
 * loads this library (LD_PRELOAD). The file named by FAULTY_DISK says what the disk does now: "stall", "slow MS",
 * "refuse", or nothing for a healthy disk. Standard streams are left alone.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <time.h>
#include <unistd.h>

/* Interval in ms at which a stalled call looks whether the disk answers again. */
#define POLL_MS 5

typedef int (*sync_function)(int);
typedef ssize_t (*write_function)(int, const void *, size_t);

static void pause_ms(long ms) {
    struct timespec time = {ms / 1000, (ms % 1000) * 1000000L};
    while (nanosleep(&time, &time) != 0 && errno == EINTR) {
    }
}

/* Reads the current fault into `text`; an empty one if there is none. */
static void read_fault(char *text, size_t size) {
    const char *path = getenv("FAULTY_DISK");
    text[0] = 0;
    if (path == NULL) return;
    int file = open(path, O_RDONLY | O_CLOEXEC);
    if (file < 0) return;
    ssize_t length = read(file, text, size - 1);
    close(file);
    text[length > 0 ? length : 0] = 0;
}

/* Waits as the disk makes its caller wait; returns -1 and sets errno if it refuses. */
static int meet_fault(int is_sync) {
    char fault[32];
    read_fault(fault, sizeof fault);
    while (strncmp(fault, "stall", 5) == 0) {
        pause_ms(POLL_MS);
        read_fault(fault, sizeof fault);
    }
    if (is_sync && strncmp(fault, "slow ", 5) == 0) pause_ms(atol(fault + 5));
    if (strncmp(fault, "refuse", 6) == 0) {
        errno = is_sync ? EIO : ENOSPC;
        return -1;
    }
    return 0;
}

static int is_on_disk(int file) {
    struct stat status;
    return file > STDERR_FILENO && fstat(file, &status) == 0 && S_ISREG(status.st_mode);
}

int fdatasync(int file) {
    if (meet_fault(1) != 0) return -1;
    return ((sync_function)dlsym(RTLD_NEXT, "fdatasync"))(file);
}

int fsync(int file) {
    if (meet_fault(1) != 0) return -1;
    return ((sync_function)dlsym(RTLD_NEXT, "fsync"))(file);
}

ssize_t write(int file, const void *bytes, size_t length) {
    if (is_on_disk(file) && meet_fault(0) != 0) return -1;
    return ((write_function)dlsym(RTLD_NEXT, "write"))(file, bytes, length);
}
