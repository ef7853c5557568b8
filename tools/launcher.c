/*
 * Boot step of the one-file program.
 *
 * The file holds this launcher, an archive and a trailer. The launcher unpacks
 * the archive once into a folder named by the archive's digest, then replaces
 * itself with the program found there. It starts no other process.
 *
 * Archive: for each file a header (path length, mode, size), the path, the
 * content. Trailer: digest as 32 hexadecimal digits, archive size, magic.
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
#define COPY_BYTES 65536
#define EXIT_CODE 70

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

static void fail(const char *what, const char *path)
{
    fprintf(stderr, "launcher: %s '%s': %s\n", what, path, strerror(errno));
    exit(EXIT_CODE);
}

static void join(char *out, const char *folder, const char *name)
{
    if (snprintf(out, PATH_LIMIT, "%s/%s", folder, name) >= PATH_LIMIT) {
        errno = ENAMETOOLONG;
        fail("cannot use", folder);
    }
}

/* Creates a folder that only this user may enter, or checks that it is one. */
static void own_folder(const char *path)
{
    struct stat found;
    if (mkdir(path, 0700) != 0 && errno != EEXIST)
        fail("cannot create", path);
    if (lstat(path, &found) != 0)
        fail("cannot inspect", path);
    if (!S_ISDIR(found.st_mode) || found.st_uid != geteuid()
        || (found.st_mode & 022)) {
        errno = EPERM;
        fail("others may write to", path);
    }
}

static void make_parents(char *path, size_t from)
{
    for (char *at = path + from; (at = strchr(at, '/')); at++) {
        *at = '\0';
        if (mkdir(path, 0700) != 0 && errno != EEXIST)
            fail("cannot create", path);
        *at = '/';
    }
}

static void copy_file(FILE *archive, const char *path, struct header head)
{
    char buffer[COPY_BYTES];
    int out = open(path, O_WRONLY | O_CREAT | O_EXCL, head.mode & 0700);
    if (out < 0)
        fail("cannot create", path);
    while (head.size > 0) {
        size_t want = head.size < COPY_BYTES ? head.size : COPY_BYTES;
        size_t got = fread(buffer, 1, want, archive);
        if (got == 0 || write(out, buffer, got) != (ssize_t)got)
            fail("cannot unpack", path);
        head.size -= got;
    }
    if (close(out) != 0)
        fail("cannot unpack", path);
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
            fail("cannot read the archive for", folder);
        name[head.path_length] = '\0';
        join(path, folder, name);
        make_parents(path, strlen(folder) + 1);
        copy_file(archive, path, head);
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

/* Unpacks beside the final folder and renames, so that a folder is whole. */
static void install(FILE *archive, const char *base, const char *final,
                    uint64_t size)
{
    char fresh[PATH_LIMIT];
    join(fresh, base, "unpack-XXXXXX");
    if (mkdtemp(fresh) == NULL)
        fail("cannot create", fresh);
    unpack(archive, fresh, size);
    if (rename(fresh, final) != 0) {
        int other_was_first = errno == EEXIST || errno == ENOTEMPTY;
        nftw(fresh, remove_entry, 16, FTW_DEPTH | FTW_PHYS);
        if (!other_was_first)
            fail("cannot create", final);
    }
}

int main(int argc, char **argv)
{
    char base[PATH_LIMIT];
    char final[PATH_LIMIT];
    char program[PATH_LIMIT];
    char digest[DIGEST_LENGTH + 1] = {0};
    struct trailer tail;
    const char *chosen = getenv("LYCHEESPAR_UNPACK_FOLDER");
    FILE *archive = fopen("/proc/self/exe", "rbe");
    (void)argc;
    if (archive == NULL
        || fseek(archive, -(long)sizeof tail, SEEK_END) != 0
        || fread(&tail, sizeof tail, 1, archive) != 1
        || memcmp(tail.magic, MAGIC, sizeof tail.magic) != 0)
        fail("cannot read", "/proc/self/exe");
    if (chosen != NULL)
        snprintf(base, sizeof base, "%s", chosen);
    else
        snprintf(base, sizeof base, "/var/tmp/lycheespar-%u", geteuid());
    own_folder(base);
    memcpy(digest, tail.digest, DIGEST_LENGTH);
    join(final, base, digest);
    if (access(final, F_OK) != 0) {
        long back = (long)(sizeof tail + tail.archive_size);
        if (fseek(archive, -back, SEEK_END) != 0)
            fail("cannot read", "/proc/self/exe");
        install(archive, base, final, tail.archive_size);
    }
    fclose(archive);
    join(program, final, "lycheespar");
    execv(program, argv);
    fail("cannot run", program);
    return EXIT_CODE;
}
