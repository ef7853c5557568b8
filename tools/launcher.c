/*
 * Launcher of the single-file executable.
 *
 * The executable consists of this launcher, an archive and a trailer. On the
 * first start, the launcher unpacks the archive into a folder that is named
 * after the archive's digest. On each start, it replaces itself by exec with
 * the program in that folder, so that there is only one process.
 *
 * The archive has, for each file, a header (path length, mode, size), the path
 * and the content. The trailer has the digest as 32 hexadecimal digits, the
 * size of the archive and a magic number.
 */
#define _GNU_SOURCE
#include <errno.h>
#include <fcntl.h>
#include <ftw.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

#define MAGIC "LYCHEE01"
#define DIGEST_LENGTH 32
#define PATH_LIMIT 4096
#define BUFFER_BYTES 65536
#define FAILURE_EXIT_CODE 70

struct header {
    uint32_t path_length;
    uint32_t mode;
    uint64_t size;
};

struct trailer {
    char digest[DIGEST_LENGTH];
    uint64_t archive_size;
    char magic[8];
};

static void exit_with_error(const char *what, const char *path)
{
    fprintf(stderr, "launcher: %s '%s': %s\n", what, path, strerror(errno));
    exit(FAILURE_EXIT_CODE);
}

static void join_path(char *joined, const char *folder, const char *name)
{
    if (snprintf(joined, PATH_LIMIT, "%s/%s", folder, name) >= PATH_LIMIT) {
        errno = ENAMETOOLONG;
        exit_with_error("cannot build a path in", folder);
    }
}

/*
 * Creates a folder that only this user may enter. A folder that already exists
 * must belong to this user, and others must not be able to write to it.
 */
static void ensure_private_folder(const char *path)
{
    struct stat info;
    if (mkdir(path, 0700) != 0 && errno != EEXIST)
        exit_with_error("cannot create", path);
    if (lstat(path, &info) != 0)
        exit_with_error("cannot inspect", path);
    if (!S_ISDIR(info.st_mode) || info.st_uid != geteuid()
        || (info.st_mode & 022)) {
        errno = EPERM;
        exit_with_error("others may write to", path);
    }
}

static void make_parents(char *path, size_t from)
{
    for (char *at = path + from; (at = strchr(at, '/')); at++) {
        *at = '\0';
        if (mkdir(path, 0700) != 0 && errno != EEXIST)
            exit_with_error("cannot create", path);
        *at = '/';
    }
}

static void extract_file(FILE *archive, const char *path, struct header head)
{
    char buffer[BUFFER_BYTES];
    int output = open(path, O_WRONLY | O_CREAT | O_EXCL, head.mode & 0700);
    if (output < 0)
        exit_with_error("cannot create", path);
    while (head.size > 0) {
        size_t want = head.size < BUFFER_BYTES ? head.size : BUFFER_BYTES;
        size_t got = fread(buffer, 1, want, archive);
        if (got == 0 || write(output, buffer, got) != (ssize_t)got)
            exit_with_error("cannot unpack", path);
        head.size -= got;
    }
    if (close(output) != 0)
        exit_with_error("cannot unpack", path);
}

static void unpack(FILE *archive, const char *folder, uint64_t size)
{
    char name[PATH_LIMIT];
    char path[PATH_LIMIT];
    struct header head;
    long end = ftell(archive) + (long)size;
    while (ftell(archive) < end) {
        if (fread(&head, sizeof head, 1, archive) != 1
            || head.path_length >= PATH_LIMIT
            || fread(name, 1, head.path_length, archive) != head.path_length)
            exit_with_error("cannot unpack the archive to", folder);
        name[head.path_length] = '\0';
        join_path(path, folder, name);
        make_parents(path, strlen(folder) + 1);
        extract_file(archive, path, head);
    }
}

static int remove_entry(const char *path, const struct stat *info, int type,
                        struct FTW *place)
{
    (void)info;
    (void)type;
    (void)place;
    return remove(path);
}

/*
 * Unpacks into a temporary folder and renames it, so that the final folder is
 * always complete. Another process may do the same at the same time; the folder
 * that is renamed first is used.
 */
static void install(FILE *archive, const char *base, const char *final,
                    uint64_t size)
{
    char temporary[PATH_LIMIT];
    join_path(temporary, base, "unpack-XXXXXX");
    if (mkdtemp(temporary) == NULL)
        exit_with_error("cannot create", temporary);
    unpack(archive, temporary, size);
    if (rename(temporary, final) != 0) {
        int other_was_first = errno == EEXIST || errno == ENOTEMPTY;
        nftw(temporary, remove_entry, 16, FTW_DEPTH | FTW_PHYS);
        if (!other_was_first)
            exit_with_error("cannot create", final);
    }
}

int main(int argc, char **argv)
{
    char base[PATH_LIMIT];
    char final[PATH_LIMIT];
    char program[PATH_LIMIT];
    char digest[DIGEST_LENGTH + 1] = {0};
    struct trailer tail;
    const char *configured_base = getenv("LYCHEESPAR_UNPACK_FOLDER");
    FILE *archive = fopen("/proc/self/exe", "rbe");
    (void)argc;
    if (archive == NULL
        || fseek(archive, -(long)sizeof tail, SEEK_END) != 0
        || fread(&tail, sizeof tail, 1, archive) != 1
        || memcmp(tail.magic, MAGIC, sizeof tail.magic) != 0)
        exit_with_error("cannot read", "/proc/self/exe");
    if (configured_base != NULL)
        snprintf(base, sizeof base, "%s", configured_base);
    else
        snprintf(base, sizeof base, "/var/tmp/lycheespar-%u", geteuid());
    ensure_private_folder(base);
    memcpy(digest, tail.digest, DIGEST_LENGTH);
    join_path(final, base, digest);
    if (access(final, F_OK) != 0) {
        long distance_from_end = (long)(sizeof tail + tail.archive_size);
        if (fseek(archive, -distance_from_end, SEEK_END) != 0)
            exit_with_error("cannot read", "/proc/self/exe");
        install(archive, base, final, tail.archive_size);
    }
    fclose(archive);
    join_path(program, final, "lycheespar");
    execv(program, argv);
    exit_with_error("cannot run", program);
    return FAILURE_EXIT_CODE;
}
