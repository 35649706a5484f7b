#include "decide/announcements.h"

#include <stdlib.h>
#include <uthash.h>
#include <utlist.h>

typedef struct announced_version {
    uint32_t version;
    uint64_t announced_ms;
    struct announced_version *prev;
    struct announced_version *next;
} announced_version_t;

struct sky_announcement {
    sky_adapter_key_t adapter;
    announced_version_t *versions; /**< oldest first; never empty */
    UT_hash_handle hh;
};

static void
remove_oldest(sky_announcement_t *announcement)
{
    announced_version_t *oldest = announcement->versions;
    DL_DELETE(announcement->versions, oldest);
    free(oldest);
}

void
SkyAnnouncements_Clear(sky_announcements_t *announcements)
{
    sky_announcement_t *announcement;
    sky_announcement_t *next;
    HASH_ITER(hh, announcements->by_adapter, announcement, next)
    {
        HASH_DEL(announcements->by_adapter, announcement);
        while (announcement->versions != NULL) {
            remove_oldest(announcement);
        }
        free(announcement);
    }
}

static sky_announcement_t *
find_announcement(const sky_announcements_t *announcements,
                  sky_adapter_key_t adapter)
{
    sky_announcement_t *announcement;
    HASH_FIND(hh, announcements->by_adapter, &adapter, sizeof adapter,
              announcement);
    return announcement;
}

static const announced_version_t *
get_newest(const sky_announcement_t *announcement)
{
    return announcement->versions->prev; /* the list's last element */
}

static sky_announcement_t *
add_announcement(sky_announcements_t *announcements, sky_adapter_key_t adapter)
{
    sky_announcement_t *announcement = calloc(1, sizeof *announcement);
    if (announcement != NULL) {
        announcement->adapter = adapter;
        HASH_ADD(hh, announcements->by_adapter, adapter,
                 sizeof announcement->adapter, announcement);
    }
    return announcement;
}

void
SkyAnnouncements_Record(sky_announcements_t *announcements,
                        sky_adapter_key_t adapter, uint32_t version,
                        uint64_t required_ms, uint64_t now_ms)
{
    sky_announcement_t *announcement =
        find_announcement(announcements, adapter);
    if (announcement != NULL && get_newest(announcement)->version >= version) {
        return;
    }
    announced_version_t *announced = calloc(1, sizeof *announced);
    if (announced == NULL) {
        return;
    }
    if (announcement == NULL) {
        announcement = add_announcement(announcements, adapter);
    }
    if (announcement == NULL) {
        free(announced);
        return;
    }
    announced->version = version;
    announced->announced_ms = now_ms;
    DL_APPEND(announcement->versions, announced);
    while (announcement->versions->next != NULL &&
           announcement->versions->next->announced_ms < required_ms) {
        remove_oldest(announcement);
    }
}

uint32_t
SkyAnnouncements_GetNewest(const sky_announcements_t *announcements,
                           sky_adapter_key_t adapter)
{
    const sky_announcement_t *announcement =
        find_announcement(announcements, adapter);
    return announcement != NULL ? get_newest(announcement)->version : 0;
}

uint32_t
SkyAnnouncements_GetNewestBefore(const sky_announcements_t *announcements,
                                 sky_adapter_key_t adapter, uint64_t before_ms)
{
    const sky_announcement_t *announcement =
        find_announcement(announcements, adapter);
    const announced_version_t *announced =
        announcement != NULL ? announcement->versions : NULL;
    uint32_t newest = 0;
    for (; announced != NULL && announced->announced_ms < before_ms;
         announced = announced->next) {
        newest = announced->version;
    }
    return newest;
}

void
SkyAnnouncements_ForEach(const sky_announcements_t *announcements,
                         void (*on_version)(void *, sky_adapter_key_t,
                                            uint32_t),
                         void *context)
{
    const sky_announcement_t *announcement;
    for (announcement = announcements->by_adapter; announcement != NULL;
         announcement = announcement->hh.next) {
        on_version(context, announcement->adapter,
                   get_newest(announcement)->version);
    }
}
